"""Former name of `foxspread.mesh`, kept for one release so that existing commands still start."""
