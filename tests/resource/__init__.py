"""Tests of resource."""
