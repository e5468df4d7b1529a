"""Tests of the program that runs the model checker."""
