"""Tests of the load tool and the measures."""
