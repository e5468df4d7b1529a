"""Tests of the program that checks the models."""
