"""Tests of the scheduling policies."""
