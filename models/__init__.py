"""Models of the core protocols, and the program that checks them."""
