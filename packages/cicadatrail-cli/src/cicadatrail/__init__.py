"""The cicadatrail command line for operators."""
