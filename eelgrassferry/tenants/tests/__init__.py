"""Tests of the decisions on tenants."""
