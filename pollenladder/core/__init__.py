"""The daemon: composition root, network loops and types shared by packages."""
