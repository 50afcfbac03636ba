#include "entry/InstallationLimits.h"

namespace lagoonspoke {

DaemonSettings applyInstallation(DaemonSettings settings, const Configuration& configuration)
{
    if (const auto& installation = configuration.installation) {
        settings.idleTimeout = installation->idleTimeout.value_or(settings.idleTimeout);
        settings.readTimeout = installation->readTimeout.value_or(settings.readTimeout);
        settings.writeTimeout = installation->writeTimeout.value_or(settings.writeTimeout);
        settings.grantTimeout = installation->grantTimeout.value_or(settings.grantTimeout);
        settings.connectTimeout = installation->connectTimeout.value_or(settings.connectTimeout);
        settings.firstByteTimeout = installation->firstByteTimeout.value_or(settings.firstByteTimeout);
        settings.tokenGapTimeout = installation->tokenGapTimeout.value_or(settings.tokenGapTimeout);
        settings.maxHeaderBytes = installation->maxHeaderBytes.value_or(settings.maxHeaderBytes);
        settings.maxBodyBytes = installation->maxBodyBytes.value_or(settings.maxBodyBytes);
    }
    return settings;
}

} // namespace lagoonspoke
