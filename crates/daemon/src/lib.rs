//! One instance: it joins decisions to transports.
