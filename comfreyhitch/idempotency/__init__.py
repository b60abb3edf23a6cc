"""Write-once claims on Idempotency-Keys, held by a majority of registrars."""
