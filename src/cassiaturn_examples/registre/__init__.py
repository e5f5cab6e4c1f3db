"""Registre Ancien Atelier: the registers of classic car clubs."""
