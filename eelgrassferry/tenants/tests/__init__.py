"""Tests of tenants and their quotas."""
