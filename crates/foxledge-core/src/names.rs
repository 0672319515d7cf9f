//! Names as shared immutable strings.

use std::{borrow::Borrow, fmt, ops::Deref, sync::Arc};

use serde::{Deserialize, Deserializer, Serialize, Serializer};

macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the name; clones share the text.
            pub fn new(text: &str) -> $name {
                $name(Arc::from(text))
            }

            /// Returns the text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> $name {
                $name::new(text)
            }
        }

        impl Deref for $name {
            type Target = str;

            fn deref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Serialize for $name {
            fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.serialize_str(&self.0)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<$name, D::Error> {
                let text = String::deserialize(deserializer)?;
                Ok($name::new(&text))
            }
        }
    };
}

shared_name! {
    /// The name of a service, such as `auction-desk`.
    ServiceName
}
shared_name! {
    /// The address that callers use for a service, such as `auction.lakeshore`.
    ServiceAddress
}
shared_name! {
    /// The name of a paying member of the marketplace.
    MemberName
}
shared_name! {
    /// The name of a data centre.
    CentreName
}
shared_name! {
    /// The name of a region, which contains data centres.
    RegionName
}
shared_name! {
    /// The name of a foxledge instance.
    InstanceName
}
shared_name! {
    /// The name of a backend server of a service.
    TargetName
}
shared_name! {
    /// The name of a rule in a list.
    RuleName
}
