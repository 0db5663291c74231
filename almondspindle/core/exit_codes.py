"""Exit codes of the programs.

Imports nothing, because programs need the codes before they import anything else.
"""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
