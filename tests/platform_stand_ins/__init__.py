"""Tests of stand_ins."""
