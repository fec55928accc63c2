//! Attribute macros for the common sets of derives, so that a type states its role once.
//!
//! - `#[value]`: owned data that is compared, stored and sent.
//! - `#[id]`: small copyable keys that are ordered and hashed.

use proc_macro::TokenStream;

/// Derives `Clone`, `Debug`, `PartialEq`, `Eq` and the serde pair.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Derives what a small copyable key needs: ordering, hashing and the serde pair.
#[proc_macro_attribute]
pub fn id(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, \
         ::serde::Deserialize",
        item,
    )
}

/// Derives what a named key needs: like [`macro@id`], for types that own their text.
#[proc_macro_attribute]
pub fn name(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize", item)
}

fn derive(traits: &str, item: TokenStream) -> TokenStream {
    let mut out: TokenStream =
        format!("#[derive({traits})]").parse().expect("the derive list is valid Rust");
    out.extend(item);
    out
}
