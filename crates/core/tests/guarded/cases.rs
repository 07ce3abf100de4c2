//! Macro that defines simulation tests.

/// Defines a test for each case. Each one gets a new simulation of the given shape, with seed 7.
macro_rules! simulation_tests {
    ($($(#[$doc:meta])* $name:ident($shape:expr) => $body:expr;)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let body: fn(&mut crate::sim::Sim) = $body;
            body(&mut crate::sim::Sim::new($shape, 7));
        })*
    };
}
