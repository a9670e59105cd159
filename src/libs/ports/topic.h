#pragma once

namespace Hyssop {

/// Topics of the platform's metadata store that the system uses. Each keeps the newest record of every key.
enum class Topic {
    Jobs, // the system's own: submissions, cancellations, progress, the owner's claim
    Operators, // configuration and requests of the operators
    Workers, // registrations of the workers
    Status, // answers to requests of the operators
};

} // namespace Hyssop
