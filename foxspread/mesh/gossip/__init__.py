"""Who is there, and who lacks what (the field's terms: membership by partial views, anti-entropy by version
vectors). Cores without I/O.
"""
