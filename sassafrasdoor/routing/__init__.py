"""Choice of backend servers, and discovery of instances by callers."""
