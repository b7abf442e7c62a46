namespace quetzallead {}
