"""The cicadatrail entry instance."""
