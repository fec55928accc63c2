//! Attribute macros for the common sets of derives, named after the role of a type.
//!
//! - `#[value]`: owned data that is compared, stored and sent.
//! - `#[id]`: small copyable values, such as identifiers, that are ordered and hashed.
//! - `#[name]`: identifiers that own their text.

use proc_macro::TokenStream;

/// Derives `Clone`, `Debug`, `PartialEq`, `Eq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn value(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Debug, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Derives `Clone`, `Copy`, `Debug`, equality, ordering, `Hash`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn id(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive(
        "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, ::serde::Serialize, \
         ::serde::Deserialize",
        item,
    )
}

/// Derives `Clone`, equality, ordering, `Hash` and `Serialize`. The type implements `Debug` and
/// `Deserialize` itself, the latter to check the text.
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
