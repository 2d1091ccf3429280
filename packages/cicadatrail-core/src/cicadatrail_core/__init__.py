"""Pure decisions and data of cicadatrail."""
