"""What the other hosts say of themselves, and catching up with those that know more."""
