#include "mangoport/cli/cli.h"

int main(int argc, char** argv) {
  return static_cast<int>(mangoport::RunCommandLine(argc, argv));
}
