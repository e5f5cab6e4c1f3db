"""Kwabena Conjuring Supply: props, illusions and decks."""
