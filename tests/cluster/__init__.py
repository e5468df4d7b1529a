"""Tests of membership, links and ownership."""
