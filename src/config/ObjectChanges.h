#pragma once

#include <map>
#include <string>
#include <vector>

#include "config/ObjectReader.h"

namespace lagoonspoke {

// The objects of a change and the path that names each in the text it came from, such as "objects[3]".
using ObjectPaths = std::map<ObjectKey, std::string>;

enum class AbsentObjects {
    Ignore,
    Report, // deleting an object that does not exist is a mistake
};

// Replaces the whole state of every listed object {"kind", "name", "spec"}; a spec of null deletes the object.
// All former states are removed first, so that the order of the list does not matter. Mistakes go into the
// readers' list of errors.
ObjectPaths applyObjects(std::vector<JsonReader> objects, Configuration&, AbsentObjects);

// Reports what does not fit together in the configuration: references to missing objects, keys of two teams, routes
// with the same path prefix, names of two targets, shares above 1. The path is that of the changed object that
// causes the mistake; before is the configuration without the change.
void checkReferences(const Configuration&, const Configuration& before, const ObjectPaths&, std::vector<Error>&);

} // namespace lagoonspoke
