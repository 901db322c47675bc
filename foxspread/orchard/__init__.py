"""The former name of `foxspread.mesh`, kept for one release so that commands in use still start."""
