"""Pure decisions on configuration: changes, differences, references and spread."""
