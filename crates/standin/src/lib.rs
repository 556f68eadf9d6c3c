//! Placeholder of the first commit.
