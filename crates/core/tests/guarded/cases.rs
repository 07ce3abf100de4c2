//! The macro that names the cases of the loads.

/// Names each case and gives it an installation of its own.
macro_rules! loads {
    ($($(#[$doc:meta])* $name:ident($shape:expr) => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let body: fn(&mut crate::sim::Sim) = $body;
            body(&mut crate::sim::Sim::new($shape, 7));
        })*
    };
}
