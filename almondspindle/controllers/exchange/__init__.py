"""Exchange reports with other hosts, and pull newer topics from them."""
