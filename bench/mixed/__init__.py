"""Parts of `mixed_versions.py`: a mesh of two versions, what is done to it, and how it is judged."""
