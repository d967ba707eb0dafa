"""Tests of model entry."""
