#pragma once

#include "config/TicketSubmission.h"
#include "external/ObjectStoreClient.h"

namespace lagoonspoke {

struct SubmittedTicket {
    SubmissionResult result;
    // The configuration that the ticket results in; absent when it was not checked.
    std::optional<Configuration> configuration;
};

// Runs a TicketSubmission against the object store until it finishes.
asio::awaitable<SubmittedTicket> submitTicket(ObjectStoreClient, Ticket, TicketSubmission::Options);

struct StoredConfiguration {
    ConfigurationHead head; // number 0 when there is none
    Configuration configuration;
};

// Reads the accepted configuration whole. Errors: as ObjectStoreClient; ProtocolViolation when it cannot be read.
asio::awaitable<Outcome<StoredConfiguration>> readConfiguration(ObjectStoreClient);

// Reads the head alone; number 0 when there is none.
asio::awaitable<Outcome<ConfigurationHead>> readStoredHead(ObjectStoreClient);

} // namespace lagoonspoke
