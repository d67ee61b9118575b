#include <stdio.h>

int main(int argc, char **argv)
{
	fputs("usage: lavenderpass COMMAND\n", stderr);
	return 2;
}
