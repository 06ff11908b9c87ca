"""Tests of one node against crowds of clients that do not behave."""
