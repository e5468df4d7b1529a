"""Tests of allowances held in escrow."""
