"""First hop: which service and which backend server a request goes to."""
