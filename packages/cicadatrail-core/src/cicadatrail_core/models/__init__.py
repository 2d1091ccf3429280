"""Data that every part of cicadatrail shares; no behaviour beyond arithmetic."""
