"""Model checking: many reducers on a virtual network and clock, against stated promises."""
