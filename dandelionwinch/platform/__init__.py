"""Everything that only translates between the product and the platform."""
