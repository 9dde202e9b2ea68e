"""Fair shares: how scarce slots are divided among organisations."""
