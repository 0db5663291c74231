"""The operators' query and command language: text in, typed statements out."""
