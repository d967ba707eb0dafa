"""The pure core: records, events, effects, verdicts and the one reducer."""
