"""Which instances are alive, suspected or leaving: a hint, never proof."""
