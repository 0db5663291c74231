"""The operators' query and command language: parsing, execution and output of statements."""
