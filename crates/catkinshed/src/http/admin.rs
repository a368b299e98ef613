//! Operators' routes.

/// The operators' routes.
pub fn routes() -> Vec<rocket::Route> {
    Vec::new()
}
