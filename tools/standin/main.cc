// Stand-ins for the platform and the backend servers: one role a process.
#include <cstdio>
#include <string_view>

#include "tools/standin/roles.h"

int main(int argc, char** argv) {
  static const struct {
    std::string_view name;
    int (*run)(int, char**);
  } kRoles[] = {{"log", mangoport::standin::RunLog},
                {"store", mangoport::standin::RunStore},
                {"hosts", mangoport::standin::RunHosts},
                {"engine", mangoport::standin::RunEngine},
                {"plain", mangoport::standin::RunPlain}};
  for (const auto& it : kRoles) {
    if (argc > 1 && it.name == argv[1])
      return it.run(argc - 1, argv + 1);
  }
  std::fprintf(stderr,
               "usage: mangoport-standin log|store|hosts|engine|plain "
               "[--name NAME] [--port N] [--port-file PATH] [...]\n");
  return 2;
}
