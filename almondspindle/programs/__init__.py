"""Entry points of the programs. They only construct and connect components."""
