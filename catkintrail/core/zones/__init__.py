"""Rules that bind whole availability zones and regions of targets."""
