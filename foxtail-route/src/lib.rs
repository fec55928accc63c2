//! Routing: which region and upstream serve a request.
