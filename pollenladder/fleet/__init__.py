"""Workers: what they are, what runs on them, and how sound they are."""
